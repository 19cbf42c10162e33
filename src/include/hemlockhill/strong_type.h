// Strong types: distinct types for identifiers and quantities, so that the compiler rejects mixing them.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Hemlockhill
{

// A text identifier. Identifiers with different tags neither compare nor convert.
template<typename Tag>
struct Id {
    std::string value;

    auto operator<=>(const Id &) const = default;
    bool empty() const { return value.empty(); }
};

template<typename Tag>
std::ostream &operator<<(std::ostream &out, const Id<Tag> &id)
{
    return out << id.value;
}

// A number in the unit named by Tag. Arithmetic and comparison require the same tag.
template<typename Tag, typename Rep = std::uint64_t>
struct Quantity {
    Rep value{};

    auto operator<=>(const Quantity &) const = default;

    Quantity &operator+=(Quantity other)
    {
        value += other.value;
        return *this;
    }

    Quantity &operator-=(Quantity other)
    {
        value -= other.value;
        return *this;
    }

    friend Quantity operator+(Quantity left, Quantity right) { return Quantity{static_cast<Rep>(left.value + right.value)}; }
    friend Quantity operator-(Quantity left, Quantity right) { return Quantity{static_cast<Rep>(left.value - right.value)}; }
};

template<typename Tag, typename Rep>
std::ostream &operator<<(std::ostream &out, const Quantity<Tag, Rep> &quantity)
{
    return out << quantity.value;
}

} // namespace Hemlockhill

template<typename Tag>
struct std::hash<Hemlockhill::Id<Tag>> {
    std::size_t operator()(const Hemlockhill::Id<Tag> &id) const noexcept { return std::hash<std::string>{}(id.value); }
};

template<typename Tag, typename Rep>
struct std::hash<Hemlockhill::Quantity<Tag, Rep>> {
    std::size_t operator()(const Hemlockhill::Quantity<Tag, Rep> &quantity) const noexcept { return std::hash<Rep>{}(quantity.value); }
};
